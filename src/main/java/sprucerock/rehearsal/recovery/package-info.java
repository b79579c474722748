/**
 * Measures from a day's traces how service recovered after each fault.
 *
 * <p><b>Job.</b> {@link sprucerock.rehearsal.recovery.RecoveryMeter} reads trace lines and reports
 * one recovery for each fault: time to full service, service lost, retries, peaks of activity.
 *
 * <p><b>Owns.</b> What it counted of one day, in memory.
 *
 * <p><b>Thread.</b> Confined to the thread that reads the traces.
 *
 * <p><b>May not.</b> Ask a process, or know the relays' insides or the invariants' rules: what it
 * reports rests on the traces alone.
 */
package sprucerock.rehearsal.recovery;
