/**
 * Scale runs: hollow relays and agents on the real codecs and cores, many in a process, beside a
 * real controller and real lease grantors, measured from outside.
 *
 * <p>Owns the processes of a run. Nothing but {@link sprucerock.cli} depends on it.
 */
package sprucerock.lab;
