package sprucerock.controller.maintenance;

import java.util.List;

/** The result of a {@link MaintenanceRequest}. */
public sealed interface AnnounceResult {
  /** The request was accepted under these numbers. A window's state shows whether it fits. */
  record Announced(List<Long> windowNumbers) implements AnnounceResult {
    /** Copies the numbers. */
    public Announced {
      windowNumbers = List.copyOf(windowNumbers);
    }
  }

  /**
   * The request is invalid or there are too many windows; nothing changed. Has a one-line reason.
   */
  record Rejected(String reason) implements AnnounceResult {}
}
