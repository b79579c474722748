package sprucerock.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

@Command(name = "lab", mixinStandardHelpOptions = true, description = "Measures how the program fares at sizes, and what that says of larger ones.",
    subcommands = LabSlopesCommand.class)
final class LabCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
