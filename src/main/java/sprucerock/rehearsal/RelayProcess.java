package sprucerock.rehearsal;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One relay of a rehearsal, as a process of its own, started anew as often as the day wants it. */
final class RelayProcess {
    private final int number;
    private final Path folder;
    private Process process;
    private int runs;
    private int badEnds;

    RelayProcess(int number, Path folder) {
        this.number = number;
        this.folder = folder;
    }

    void start() throws IOException {
        runs++;
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        File log = folder.resolve("relay-" + number + ".log").toFile();
        process = new ProcessBuilder(List.of(java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx256m", "-cp",
            System.getProperty("java.class.path"), "sprucerock.Main", "relay", "--config",
            folder.resolve("relay-" + number + ".xml").toString(), "--trace",
            folder.resolve("relay-" + number + "." + runs + ".trace").toString()))
            .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }

    /** Tells it to finish. */
    void stop() {
        process.destroy();
    }

    /** Holds the process still, or lets it go on. */
    void hold(boolean still) throws IOException {
        new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid())).inheritIO().start();
    }

    /** Waits until it has ended by itself; one that does not is killed. Returns its exit code, or -1. */
    int end(int seconds) throws InterruptedException {
        if (process.waitFor(seconds, TimeUnit.SECONDS)) return process.exitValue();
        process.destroyForcibly();
        return -1;
    }

    int runs() {
        return runs;
    }

    int badEnds() {
        return badEnds;
    }

    /** Notes an end that was not in good order. */
    void endedBadly() {
        badEnds++;
    }
}
