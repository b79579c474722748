import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.io.DataInputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay as a process of its own, started by the run line of the deploy file. */
final class Relay {
  private static final List<Relay> ALL = new ArrayList<>();
  final int port;
  final Path folder;
  private final Path root;
  private Process process;

  Relay(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = folder;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
    ALL.add(this);
  }

  void start(Settings settings, Roster roster, Desk desk) throws IOException, InterruptedException {
    settings.top.put("name", "n0");
    settings.top.put("listen", "127.0.0.1:" + port);
    settings.top.put("discovery", roster.address());
    settings.top.put(
        "release_api", Settings.map("address", desk.address(), "news", desk.news()));
    settings.top.put("known", roster.known());
    Path config = folder.resolve("config.json");
    Files.writeString(config, Settings.json(settings.top));
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*?)\"")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run line");
    }
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.put("LB_NAME", "n0");
    environment.put("LB_LISTEN", "127.0.0.1:" + port);
    environment.put("LB_DISCOVERY", roster.address());
    environment.put("LB_CONFIG", config.toString());
    environment.put("TMPDIR", temporary.toString());
    File log = folder.resolve("relay.log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    Log.say("relay started, process " + process.pid());
    for (double until = Log.ms() + 30000; Log.ms() < until && process.isAlive(); ) {
      if (answersEmptyQuery()) {
        Log.say("relay is ready");
        return;
      }
      Thread.sleep(50);
    }
    throw new IOException("the relay is not ready within 30 s");
  }

  private boolean answersEmptyQuery() {
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
      socket.setSoTimeout(2000);
      socket.getOutputStream().write(Pg.join(Pg.startup(), Pg.query("")));
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        if (Pg.read(in).type() == 'I') {
          return true;
        }
      }
    } catch (IOException e) {
      return false;
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  void signal(String name) throws IOException, InterruptedException {
    Log.line("relay gets SIG" + name);
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  static void endAll() {
    for (Relay relay : ALL) {
      if (relay.process == null) {
        continue;
      }
      relay.process.destroyForcibly();
      try {
        relay.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
