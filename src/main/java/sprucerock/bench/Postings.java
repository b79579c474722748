package sprucerock.bench;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sprucerock.figures.Keeper;
import sprucerock.ledger.Accounts;

/** What the figures of an RPC with one pick cost, kept in a mapped file, by how many RPCs fall into a turn. */
public final class Postings {
    private static final int RPCS = 2_000_000;

    private Postings() {}

    public static void run(PrintStream out) throws IOException {
        Path folder = Files.createTempDirectory("postings");
        Path file = folder.resolve("bench.figures");
        Accounts accounts = new Accounts(List.of("one", "two", "three"), new Accounts.Room(16, 1024, 64));
        for (int i = 0; i < 300; i++) accounts.row(accounts.units, "" + i);
        Keeper keeper = Keeper.open(file, accounts, () -> { }, out::println);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long thread = Thread.currentThread().getId();
        for (int each : new int[] {1, 8, 64}) {
            for (int round = 0; round < 3; round++) { // the first two warm up
                long bytes = threads.getThreadAllocatedBytes(thread);
                long from = System.nanoTime();
                rpcs(accounts, each);
                double ns = (double) (System.nanoTime() - from) / RPCS;
                double allocated = (double) (threads.getThreadAllocatedBytes(thread) - bytes) / RPCS;
                if (round == 2) out.printf("  %2d RPCs a turn: %.0f ns an RPC (11 postings), %.2f bytes%n", each, ns, allocated);
            }
        }
        keeper.close();
        Files.delete(file);
        Files.delete(folder);
    }

    private static void rpcs(Accounts accounts, int each) {
        for (int i = 0; i < RPCS; i++) {
            int method = i % 3;
            int unit = (i * 7919 & 0xffff) % 300;
            accounts.begin(accounts.calls, 0, 1);
            accounts.begin(accounts.rpcs, method, accounts.rpcs.pending());
            accounts.begin(accounts.customers, 0, accounts.customers.pending());
            accounts.begin(accounts.picks, method, accounts.picks.pending());
            accounts.begin(accounts.builds, 0, accounts.builds.pending());
            accounts.begin(accounts.units, unit, accounts.units.pending());
            accounts.move(accounts.picks, method, accounts.picks.pending(), 1);
            accounts.move(accounts.builds, 0, accounts.builds.pending(), 1);
            accounts.move(accounts.units, unit, accounts.units.pending(), 1);
            accounts.move(accounts.rpcs, method, accounts.rpcs.pending(), 1);
            accounts.move(accounts.customers, 0, accounts.customers.pending(), 1);
            if (i % each == each - 1) accounts.commit();
        }
    }
}
