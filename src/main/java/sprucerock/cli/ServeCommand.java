package sprucerock.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine.Command;
import sprucerock.Policy;
import sprucerock.config.ConfigException;
import sprucerock.net.nio.NioLoop;
import sprucerock.platform.PlatformConfig;
import sprucerock.platform.Serving;
import sun.misc.Signal;

/** Named here for the help; Main starts it without this command line. */
@Command(name = "serve", mixinStandardHelpOptions = true,
    description = "Runs a relay on the operators' platform, configured by LB_CONFIG. SIGHUP reads it anew; SIGTERM ends it once every open RPC has its answer.")
public final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return serve();
    }

    /** Runs until it is told to end; returns the exit code. */
    public static int serve() throws InterruptedException {
        AtomicReference<Serving> serving = new AtomicReference<>();
        CountDownLatch ended = new CountDownLatch(1);
        AtomicReference<String> wrong = new AtomicReference<>();
        try {
            PlatformConfig config = PlatformConfig.read(System.getenv());
            Logs.to(Logs.Form.PLAIN);
            NioLoop loop = new NioLoop("serving", e -> {
                if (serving.get() != null) serving.get().broken(e);
                else e.printStackTrace(System.err);
            });
            loop.post(() -> {
                try {
                    serving.set(new Serving(config, loop, System.currentTimeMillis()));
                    serving.get().start(Policy::new);
                } catch (IOException e) {
                    wrong.set("an address can't be listened at: " + e.getMessage());
                    ended.countDown();
                }
            });
            Signal.handle(new Signal("HUP"), signal -> reload(loop, serving));
            Signal.handle(new Signal("TERM"), signal -> loop.post(() -> serving.get().finish(ended::countDown)));
            ended.await();
            if (wrong.get() == null) return Commands.DONE;
            System.err.println(wrong.get());
            return Commands.FAILED;
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            return Commands.USAGE;
        } catch (IOException e) {
            System.err.println("no loop can be started: " + e.getMessage());
            return Commands.FAILED;
        }
    }

    private static void reload(NioLoop loop, AtomicReference<Serving> serving) {
        try { // read on the signal's own thread: the loop reads no files
            PlatformConfig anew = PlatformConfig.read(System.getenv());
            loop.post(() -> serving.get().reload(anew));
        } catch (ConfigException e) {
            loop.post(() -> serving.get().notReloaded(e.getMessage()));
        }
    }
}
