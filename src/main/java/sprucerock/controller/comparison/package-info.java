/**
 * The comparison of relays on a new version with a control group on the old one.
 *
 * <p>{@link sprucerock.controller.comparison.Comparison} collects evidence from pairs of relays by
 * sequential tests, whose results may be read after each window; {@link
 * sprucerock.controller.comparison.BaselineLevel} detects harm that both sides suffer alike. The
 * package owns only the evidence on the current deployment, which is not stored. It identifies no
 * relays and versions, reads no clock, does no I/O, and may use no other package.
 */
package sprucerock.controller.comparison;
