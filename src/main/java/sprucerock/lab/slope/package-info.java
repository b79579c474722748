/**
 * Results of scale runs as data: fits of a cost against the number of relays, predictions,
 * allowances and the tables of the capacity page.
 *
 * <p>Pure: no I/O, no threads. The names of record components are the keys of stored results.
 */
package sprucerock.lab.slope;
