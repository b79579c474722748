package sprucerock.cli;

import picocli.CommandLine.Command;

@Command(
    name = "tls",
    mixinStandardHelpOptions = true,
    subcommands = {TlsCheckCommand.class, TlsMakeTestCaCommand.class},
    description = "Looks at certificates and keys, and makes some for tests.")
final class TlsCommand {}
