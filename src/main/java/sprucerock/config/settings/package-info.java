/**
 * Reads start settings written as pairs of path and value into {@link sprucerock.model.Settings}.
 *
 * <p>This is the one place where the operators' paths and words are translated; it opens no files.
 */
package sprucerock.config.settings;
