/**
 * The entry point of the program.
 *
 * <p>{@link sprucerock.Main} starts {@code simhost}, {@code serve} and the warm-up apart from the
 * other commands, as their start is paid for on each restart.
 */
package sprucerock;
