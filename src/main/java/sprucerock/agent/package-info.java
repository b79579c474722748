/**
 * The agent of one machine: it keeps one relay process running in the version that the controller
 * wants, else in the one that ran well last.
 *
 * <p>{@link sprucerock.agent.Agent} decides, without I/O; {@link
 * sprucerock.agent.LocalRelaySupervisor} acts on the machine; {@link
 * sprucerock.agent.ControllerClient} talks to the controllers. All of it runs on one loop.
 *
 * <p>The package owns the agent's folder: its state ({@code agent.state}), the note of the relay's
 * process ({@code relay.pid}), the relay's settings and log, and the downloaded versions. These
 * files and the mark on the relay's command line are read by later programs, so their form stays.
 *
 * <p>It may not decide which version runs, nor depend on a controller to keep a relay running: what
 * is stored here is enough to start it again.
 */
package sprucerock.agent;
