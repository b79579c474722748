package sprucerock.model;

import java.util.ArrayList;
import java.util.List;

/** One version of the servers' software, with the units that run it and may get new work. */
public final class Build {
    public final int number;
    public final List<Unit> units = new ArrayList<>();

    public Build(int number) {
        this.number = number;
    }
}
