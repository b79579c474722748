package sprucerock.ledger;

import java.util.List;

/**
 * Accounts of one kind, a row for each method, unit or whatever they are told apart by. In every row the first column,
 * the total, is the sum of the others at all times: a posting adds to the total and to one of them, or moves from one to
 * another. The last row stands for all that found no row of their own.
 */
public final class Sheet {
    /** A row's name where more were wanted than there is room for. */
    public static final String OTHER = "other";
    /** The name of an only row. */
    public static final String ALL = "all";

    private final String name;
    private final String by;
    private final List<String> columns;
    private final int rows;
    private final int pending;
    final int base;

    /** {@code pending} is the column of what is not over yet, which a crash ends; {@code lost} is the one before it. */
    Sheet(String name, String by, int rows, int base, List<String> columns) {
        this.name = name;
        this.by = by;
        this.rows = rows;
        this.base = base;
        this.columns = columns;
        pending = columns.size() - 1;
    }

    public String name() {
        return name;
    }

    /** What rows are told apart by, such as method. */
    public String by() {
        return by;
    }

    /** Their names, the total first; the last two are lost and what is pending. */
    public List<String> columns() {
        return columns;
    }

    public int rows() {
        return rows;
    }

    /** Where an account stands among all. */
    public int index(int row, int column) {
        return base + row * columns.size() + column;
    }

    int size() {
        return rows * columns.size();
    }

    /** The column of what is not over yet. */
    public int pending() {
        return pending;
    }

    /** The column of what a crash of the relay ended. */
    public int lost() {
        return pending - 1;
    }
}
