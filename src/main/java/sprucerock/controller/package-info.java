/**
 * The controller's state: rollouts of builds, deployments of versions to relays, and maintenance
 * windows.
 *
 * <p>{@link sprucerock.controller.Engine} owns this state. An entry is appended to the write-ahead
 * log, made durable by a group commit, and only then applied by {@code StateMachine} and answered
 * with an {@link sprucerock.controller.AppendResult}. A start replays the newest snapshot and the
 * entries after it. {@code SnapshotCodec}, {@code DeploymentCodec} and {@code MaintenanceCodec}
 * define the stored form, whose names and numbers must not change.
 *
 * <p>The package is used by one thread, the controller's loop. {@link
 * sprucerock.controller.RolloutManager} and the managers of the sub-packages do no I/O and read no
 * clock; only {@code FileStorage} and the leadership files touch the file system. Nothing here
 * depends on connections or HTTP.
 */
package sprucerock.controller;
