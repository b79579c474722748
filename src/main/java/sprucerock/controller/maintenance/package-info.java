/**
 * Maintenance windows ("freezes" on the wire and at the command line): when relays may not place
 * work on some racks, whether the other racks can carry the load meanwhile, and which rack permits
 * relays get.
 *
 * <p>{@link sprucerock.controller.maintenance.MaintenanceWindows} owns the windows and makes their
 * transitions. {@code WindowLifecycle} determines which transitions are due by time, {@code
 * CapacityPlanner} where a window fits and {@link sprucerock.controller.maintenance.CapacityCheck}
 * which capacity is missing. {@code WindowIndex} finds windows by rack and time. {@link
 * sprucerock.controller.maintenance.PlacementGrants} tracks which relay may hold which rack permit,
 * for one incarnation of the controller. The controller's log stores windows as {@link
 * sprucerock.controller.maintenance.MaintenanceState}.
 *
 * <p>The package must not read a clock, do I/O, start a thread or depend on more of package {@code
 * hardware} than its models.
 */
package sprucerock.controller.maintenance;
