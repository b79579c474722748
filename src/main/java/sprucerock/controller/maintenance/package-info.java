/**
 * Maintenance windows ("freezes" on the wire and at the command line): when nothing may be placed
 * on some racks, whether the other racks bear the load meanwhile, and what relays are granted.
 *
 * <p>{@link sprucerock.controller.maintenance.MaintenanceWindows} owns the windows and makes their
 * transitions; {@code WindowLifecycle} says which are due by time, {@code CapacityPlanner} where a
 * window fits, {@link sprucerock.controller.maintenance.CapacityCheck} what is short, {@code
 * WindowIndex} finds windows by rack and time. {@link
 * sprucerock.controller.maintenance.PlacementGrants} owns which relay may hold which grant, for one
 * incarnation of the controller. Windows are stored by the controller's log, as {@link
 * sprucerock.controller.maintenance.MaintenanceState}.
 *
 * <p>Must not: read a clock, do input or output, start a thread or use more of {@code hardware}
 * than its models.
 */
package sprucerock.controller.maintenance;
