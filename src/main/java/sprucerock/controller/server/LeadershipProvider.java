package sprucerock.controller.server;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.controller.Engine;
import sprucerock.controller.FileLeadership;
import sprucerock.controller.Leadership;
import sprucerock.controller.LeadershipMark;
import sprucerock.lease.GrantorListener;
import sprucerock.lease.LeaseManager;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameTap;

/**
 * Chooses how this controller becomes the leader: by a lease if grantors are configured, else by a
 * file in the store's folder. Owns the lease client and, if this process is one of the grantors,
 * the grantor's listener.
 */
final class LeadershipProvider {
  private static final String LEASE_NAME = "controller";
  private static final long RETRY_INTERVAL_MS = 50;

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final NioLoop loop;
  private final ControllerConfig config;
  private final FrameTap tap;
  private final Engine.Clock clock;
  private final String holder;
  private LeaseManager leases;
  private GrantorListener grantor;

  LeadershipProvider(NioLoop loop, ControllerConfig config, FrameTap tap, Engine.Clock clock) {
    this.loop = loop;
    this.config = config;
    this.tap = tap;
    this.clock = clock;
    holder =
        config.name
            + "-"
            + ProcessHandle.current().pid()
            + "-"
            + Long.toHexString(System.nanoTime());
  }

  /**
   * Waits until this controller is the leader; until then it is a standby.
   *
   * @throws IOException if the store's folder can't be used, or the grantor's address can't be
   *     bound
   */
  Leadership acquire() throws Exception {
    Leadership leadership = create();
    boolean standbyLogged = false;
    while (!leadership.tryAcquire()) {
      if (!standbyLogged) {
        log.info("STANDBY {} waits for leadership of the store {}", holder, config.storeFolder);
      }
      standbyLogged = true;
      Thread.sleep(RETRY_INTERVAL_MS);
    }
    return leadership;
  }

  private Leadership create() throws Exception {
    if (config.leaseConfig == null) {
      return FileLeadership.in(config.storeFolder, clock, config.leaseDuration, holder);
    }
    LeaseManager.Log leaseLog = leaseLog();
    leases =
        new LeaseManager(
            loop,
            config.leaseConfig,
            config.name,
            LeaseManager.newIncarnation(),
            tap,
            clock::wallMs,
            leaseLog);
    LeadershipMark mark = LeadershipMark.in(config.storeFolder);
    LoopTasks.runAndWait(loop, () -> startLeases(leaseLog));
    return new LeaseLeadership(loop, leases, mark, LEASE_NAME);
  }

  private void startLeases(LeaseManager.Log leaseLog) throws IOException {
    int number = config.leaseConfig.grantorNumber();
    try {
      if (number >= 0) {
        grantor = new GrantorListener(loop, config.leaseConfig, config.name, tap, leaseLog);
        grantor.start();
      }
      leases.start();
    } catch (IOException e) {
      throw new IOException("grantor " + number + " cannot listen: " + e.getMessage());
    }
  }

  private LeaseManager.Log leaseLog() {
    return new LeaseManager.Log() {
      @Override
      public void info(String text) {
        log.info("LEASE {}", text);
      }

      @Override
      public void warn(String text) {
        log.warn("LEASE {}", text);
      }
    };
  }

  /** The lease client; null if no grantors are configured. */
  LeaseManager leases() {
    return leases;
  }

  /** Stops the grantor of this process, if there is one. On the loop only. */
  void stopGrantor() {
    if (grantor != null) {
      grantor.stop();
    }
  }
}
