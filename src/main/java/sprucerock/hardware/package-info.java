/**
 * The relative speed and capacity of hardware families, estimated from the observations of relays,
 * with the errors of the estimates.
 *
 * <p>Relays collect {@link sprucerock.hardware.SampleSums}. One process keeps the sums of all
 * relays in an {@link sprucerock.hardware.Observation} and fits a {@link
 * sprucerock.hardware.HardwareModel} to them by {@link sprucerock.hardware.LeastSquaresFit}. {@link
 * sprucerock.hardware.CapacityTranslator} translates capacity by a model, {@link
 * sprucerock.hardware.OutlierScore} distinguishes a slow family from a slow build.
 *
 * <p>Owns nothing beyond these objects. Must not: read a clock, do input or output, start a thread,
 * or depend on any other package of the program.
 */
package sprucerock.hardware;
