/**
 * What one family of hardware is worth beside another, from what relays observe, and how well that
 * is known.
 *
 * <p>Relays collect {@link sprucerock.hardware.SampleSums}; one process keeps those of all relays
 * in an {@link sprucerock.hardware.Observation} and makes a {@link
 * sprucerock.hardware.HardwareModel} of them by {@link sprucerock.hardware.LeastSquaresFit}. {@link
 * sprucerock.hardware.CapacityTranslator} answers from a model, {@link
 * sprucerock.hardware.OutlierScore} tells a slow family from a slow build.
 *
 * <p>Owns nothing beyond these objects. Must not: read a clock, do input or output, start a thread,
 * or depend on any other package of the program.
 */
package sprucerock.hardware;
