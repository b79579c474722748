/**
 * Configurations of relays and their leases, read from XML and checked against schemas in the jar.
 *
 * <p>Objects here are immutable once read. Elements and attributes are known to operators and keep
 * their names; this package is where they are translated to the code's terms. Each error is one
 * line with file, line, what is wrong and what is allowed.
 *
 * <p>The package may read configuration files and nothing else: it opens no connection, and looks
 * up no host name.
 */
package sprucerock.config;
