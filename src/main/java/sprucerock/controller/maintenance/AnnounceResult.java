package sprucerock.controller.maintenance;

import java.util.List;

/** What became of a {@link MaintenanceRequest}. */
public sealed interface AnnounceResult {
  /** It was taken in, under these numbers; whether each window fits, its state says. */
  record Announced(List<Long> windowNumbers) implements AnnounceResult {
    /** Keeps a copy. */
    public Announced {
      windowNumbers = List.copyOf(windowNumbers);
    }
  }

  /** It makes no sense or there are too many; nothing was changed. One line says why. */
  record Rejected(String reason) implements AnnounceResult {}
}
