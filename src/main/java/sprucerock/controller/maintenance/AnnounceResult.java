package sprucerock.controller.maintenance;

import java.util.List;

/** The result of a {@link MaintenanceRequest}. */
public sealed interface AnnounceResult {
  /**
   * Windows were created under these numbers. The state of each shows whether it was accepted or
   * refused.
   */
  record Announced(List<Long> windowNumbers) implements AnnounceResult {
    /** Copies the numbers. */
    public Announced {
      windowNumbers = List.copyOf(windowNumbers);
    }
  }

  /**
   * The request is invalid or there are too many windows; nothing changed.
   *
   * @param reason the reason in one line
   */
  record Rejected(String reason) implements AnnounceResult {}
}
