/**
 * A relay's metrics outside its accounts: kept in a file across restarts and kills, read from there
 * by others, served to a monitor, and printed as a table.
 *
 * <p>{@link sprucerock.metrics.MetricsFileWriter} is the only writer of a relay's file; {@link
 * sprucerock.metrics.MetricsSnapshot} is a consistent read of it, from any process. The file's form
 * and the names that {@link sprucerock.metrics.MetricsExporter} serves are known to others and
 * stay.
 *
 * <p>The package counts nothing itself: what is counted, and which sums hold, is {@code
 * sprucerock.accounting}'s. Nothing that is wrong with a file or a monitor may stop a relay.
 */
package sprucerock.metrics;
