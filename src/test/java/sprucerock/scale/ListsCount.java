package sprucerock.scale;

import java.util.ArrayList;
import java.util.List;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.transport.wire.v1.Health;

/**
 * Prints what lists and tables cost one relay at several sizes, for docs/scale. Memory is the
 * heap's after collections. Not a test.
 */
public final class ListsCount {
  private ListsCount() {}

  /** Nanoseconds of processor that this thread has had: a busy machine does not count. */
  static long cpu() {
    return java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  static long heap() throws InterruptedException {
    Runtime machine = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(50);
      least = Math.min(least, machine.totalMemory() - machine.freeMemory());
    }
    return least;
  }

  public static void main(String[] args) throws Exception {
    if (args[0].equals("units")) {
      units(args);
    } else if (args[0].equals("racks")) {
      racks(args);
    } else if (args[0].equals("looks")) {
      looks(args);
    } else if (args[0].equals("accounts")) {
      accounts(args);
    } else if (args[0].equals("customers")) {
      customers(args);
    }
  }

  private static void units(String[] args) throws Exception {
    System.out.println("units heapB wholeB makeCpuMs inForceCpuMs changeB changeCpuMs");
    new Listed(Listed.ROOMY, false).tellsWhole(3000);
    // code is compiled
    for (int i = 1; i < args.length; i++) {
      int endpoints = Integer.parseInt(args[i]);
      Listed listed = new Listed(Listed.ROOMY, false);
      long before = heap();
      long began = cpu();
      sprucerock.transport.wire.v1.Listing whole = Listed.whole(endpoints);
      long encoded = cpu();
      long bytes = listed.frames.bytesIn;
      listed.tells(whole);
      long inForce = cpu();
      bytes = listed.frames.bytesIn - bytes;
      whole = null;
      long after = heap();
      long changeBytes = listed.frames.bytesIn;
      long changeBegan = cpu();
      for (int j = 0; j < 100; j++) {
        listed.tellsChange(Listed.entry(j, 1, Health.READY));
      }
      double changeMs = (cpu() - changeBegan) / 1e8;
      changeBytes = (listed.frames.bytesIn - changeBytes) / 100;
      System.out.printf(
          "%d %d %d %.1f %.1f %d %.3f%n",
          listed.relay.requestTracker().endpoints().size(),
          after - before,
          bytes,
          (encoded - began) / 1e6,
          (inForce - encoded) / 1e6,
          changeBytes,
          changeMs);
    }
  }

  private static void racks(String[] args) throws Exception {
    System.out.println("units clockReads/s cpuMs/s-first cpuMs/s");
    for (int i = 1; i < args.length; i++) {
      int endpoints = Integer.parseInt(args[i]);
      Listed listed = new Listed(Listed.ROOMY, true).tellsWhole(endpoints);
      listed.promises(1, 60_000, 0);
      long base = cpu();
      long reads = listed.clockReads(1000);
      long first = cpu() - base;
      base = cpu();
      listed.clockReads(1000);
      System.out.printf("%d %d %.1f %.1f%n", endpoints, reads, first / 1e6, (cpu() - base) / 1e6);
    }
  }

  private static void looks(String[] args) throws Exception {
    System.out.println("units clockReads/s cpuMs/s");
    for (int i = 1; i < args.length; i++) {
      int endpoints = Integer.parseInt(args[i]);
      Listed listed = Listed.looking().tellsWhole(endpoints);
      for (int j = 0; j < 100 && listed.relay.leases().held() == 0; j++) {
        listed.net.pass(100);
      }
      listed.net.pass(1000);
      long began = cpu();
      long reads = listed.clockReads(5000) / 5;
      System.out.printf("%d %d %.1f%n", endpoints, reads, (cpu() - began) / 5e6);
    }
  }

  private static void accounts(String[] args) throws Exception {
    System.out.println("methods accounts heapB heapWithBookB checkCpuMs");
    for (int i = 1; i < args.length; i++) {
      List<String> methods = new ArrayList<>();
      for (int j = 0; j < Integer.parseInt(args[i]); j++) {
        methods.add("m" + j);
      }
      long before = heap();
      MethodAccounts accounts =
          new MethodAccounts(methods, new MethodAccounts.Capacity(16, 1024, 64));
      long alone = heap();
      MetricsFileWriter keeper = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
      long kept = heap();
      accounts.check();
      long began = cpu();
      accounts.check();
      System.out.printf(
          "%d %d %d %d %.2f%n",
          methods.size(), accounts.size(), alone - before, kept - before, (cpu() - began) / 1e6);
      if (keeper.isPersistent()) {
        throw new IllegalStateException();
      }
    }
  }

  private static void customers(String[] args) throws Exception {
    System.out.println("customers heapB");
    for (int i = 1; i < args.length; i++) {
      int n = Integer.parseInt(args[i]);
      long before = heap();
      List<Double> shares = new ArrayList<>();
      for (int j = 0; j < n; j++) {
        shares.add(1.0 / n + j * 1e-12);
      }
      sprucerock.policy.evidence.TenantArrivals tenants =
          new sprucerock.policy.evidence.TenantArrivals(
              shares, sprucerock.time.TimeSpan.ofMs(5000));
      for (int j = 0; j < n; j++) {
        tenants.add(j, sprucerock.time.Timestamp.ofMs(j));
      }
      long after = heap();
      System.out.printf("%d %d%n", n, after - before);
      if (tenants.quotaMultiple(0, sprucerock.time.Timestamp.ofMs(0)) < 0) {
        throw new IllegalStateException();
      }
    }
  }
}
