/**
 * Plots of fitted slopes as PNG. Used by the commands alone, so that no relay loads a plot library.
 */
package sprucerock.lab.plot;
