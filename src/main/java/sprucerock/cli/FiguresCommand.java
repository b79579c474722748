package sprucerock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.figures.Snapshot;
import sprucerock.figures.Table;
import sprucerock.ledger.Accounts;

@Command(name = "figures", mixinStandardHelpOptions = true,
    description = "Shows the figures of relays from their files, running or dead. Exit code 1 with --check: a sum does not hold.")
final class FiguresCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", arity = "1..*", description = "as figures/file in a relay's configuration names it")
    private List<Path> files;

    @Option(names = "--check", description = "only says whether every sum holds")
    private boolean check;

    @Override
    public Integer call() throws Exception {
        boolean holds = true;
        for (Path file : files) {
            Snapshot snapshot;
            try {
                snapshot = Snapshot.read(file);
                if (!check) System.out.print(file + ": " + Table.of(snapshot));
                List<Accounts.Drift> drifts = snapshot.accounts().check(snapshot.values);
                for (Accounts.Drift drift : drifts) System.out.println(file + ": " + drift);
                if (check && drifts.isEmpty()) System.out.println(file + ": every sum holds");
                holds &= drifts.isEmpty();
            } catch (Snapshot.BadFileException e) {
                System.out.println(e.getMessage());
                holds = false;
            }
        }
        return holds ? Commands.DONE : Commands.WANTING;
    }
}
