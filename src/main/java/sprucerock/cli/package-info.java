/**
 * The commands of the program, by picocli: flags, exit codes (0 done, 1 found wanting, 2 bad usage
 * or configuration, 3 failed at run time) and their output.
 *
 * <p>Commands parse, call and print; what they call stands in the other packages.
 */
package sprucerock.cli;
