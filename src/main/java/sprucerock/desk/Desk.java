package sprucerock.desk;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.controller.Engine;
import sprucerock.controller.v1.Input;
import sprucerock.net.nio.NioLoop;
import sprucerock.time.Span;
import sprucerock.wire.Tap;

/** The controller: its engine between relays, pipelines and operators, on one loop that also waits for the disk. */
public final class Desk implements AutoCloseable {
    private static final Span LOOK = Span.ofMs(50); // whether time alone has changed anything

    private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
    private final NioLoop loop;
    private final Engine engine;
    private final RelaysDoor relays;
    private final HttpDoor http;
    private final InetSocketAddress relaysAt;
    private boolean marked;
    private volatile boolean stopped;

    /**
     * Opens the files and all doors.
     *
     * @throws Exception if a file is damaged or an address can't be had; the message says which
     */
    public Desk(DeskConfig config, Engine.Clock clock, Tap tap) throws Exception {
        loop = new NioLoop("controller", this::broken);
        engine = Engine.in(config.folder, config.rules, config.places, config.firstBuild, clock, (release, step) -> {
            log.info("STEP {} build {} {} stage {}: {}", step.sequence(), release.build, step.standing(), step.stage(), step.cause());
        }, what -> log.error("STORE {}", what)); // relays are told at the turn's end, after all its steps
        engine.start();
        relays = new RelaysDoor(loop, config, tap, this);
        http = new HttpDoor(config, this);
        Exception[] wrong = new Exception[1];
        CountDownLatch done = new CountDownLatch(1);
        InetSocketAddress[] at = new InetSocketAddress[1];
        loop.post(() -> {
            try {
                at[0] = relays.start();
            } catch (IOException e) {
                wrong[0] = new IOException(config.relays + " can't be listened at: " + e.getMessage());
            } finally {
                done.countDown();
            }
        });
        done.await();
        if (wrong[0] != null) throw wrong[0];
        try {
            http.start();
        } catch (RuntimeException e) {
            throw new IOException(config.hooks + " or " + config.api + " can't be listened at: " + e.getMessage());
        }
        loop.post(this::look);
        relaysAt = at[0];
        log.info("STARTED controller {}, epoch {}, {} inputs; relays at {}, webhooks at {}, operators at {}", config.name, engine.releases().epoch(),
            engine.inputs(), at[0], http.hooksAt(), http.apiAt());
    }

    public InetSocketAddress relaysAt() {
        return relaysAt;
    }

    public InetSocketAddress hooksAt() {
        return http.hooksAt();
    }

    public InetSocketAddress apiAt() {
        return http.apiAt();
    }

    Engine engine() {
        return engine;
    }

    Set<Integer> relays() {
        return relays.relays();
    }

    void broken(Throwable why) {
        log.error("BROKEN {}", why.toString(), why);
    }

    /** On the loop, from any thread. */
    void post(Runnable what) {
        loop.post(what);
    }

    /** On the loop: kept at the turn's end, then it happens and is answered. */
    void submit(Input.Builder input, Consumer<Engine.Outcome> done) {
        engine.submit(input, done);
        if (marked) return;
        marked = true;
        loop.atTurnsEnd(this::commit);
    }

    private void commit() {
        marked = false;
        long before = engine.releases().sequence();
        engine.commit();
        if (engine.releases().sequence() != before) relays.tellAll();
    }

    private void look() {
        if (stopped) return;
        if (engine.releases().due(engine.now())) commit();
        loop.at(loop.now().plus(LOOK), this::look);
    }

    /** Answers what is under way, and ends. */
    @Override
    public void close() throws IOException {
        http.stop();
        stopped = true;
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            relays.stop();
            loop.at(loop.now().plus(Span.ofMs(100)), done::countDown);
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.close();
        engine.close();
        log.info("FINISHED");
    }
}
