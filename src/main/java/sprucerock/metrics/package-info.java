/**
 * Storage and export of a relay's accounts: a file that survives restarts and kills, snapshots of
 * that file for other processes, an HTTP server for a monitor, and a printed table.
 *
 * <p>{@link sprucerock.metrics.MetricsFileWriter} is the only writer of a relay's file; {@link
 * sprucerock.metrics.MetricsSnapshot} reads the file consistently, from any process. Other programs
 * rely on the format of the file and on the names that {@link sprucerock.metrics.MetricsExporter}
 * serves; both must not change.
 *
 * <p>This package counts nothing itself: {@code sprucerock.accounting} defines what is counted and
 * which sums hold. No fault of a file or a monitor may stop a relay.
 */
package sprucerock.metrics;
