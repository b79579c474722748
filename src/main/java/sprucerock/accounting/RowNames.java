package sprucerock.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which name each row of each table has. */
final class RowNames {
  private final String[] names;
  private final int[] firstRow;
  private final List<Map<String, Integer>> rowsByName = new ArrayList<>();

  RowNames(List<MetricsSheet> tables) {
    firstRow = new int[tables.size()];
    int rows = 0;
    for (int i = 0; i < tables.size(); i++) {
      firstRow[i] = rows;
      rows += tables.get(i).rowCount();
      rowsByName.add(new HashMap<>());
    }
    names = new String[rows];
  }

  /** How many rows all tables have. */
  int count() {
    return names.length;
  }

  /** A row's name by its number through all tables; null where it isn't in use. */
  String name(int rowOfAll) {
    return names[rowOfAll];
  }

  /** A row's name; null where it isn't in use. */
  String name(MetricsSheet table, int row) {
    return names[firstRow[table.sheetIndex] + row];
  }

  /** Names a row, and returns its number through all tables. */
  int assign(MetricsSheet table, int row, String name) {
    rowsByName.get(table.sheetIndex).put(name, row);
    int rowOfAll = firstRow[table.sheetIndex] + row;
    names[rowOfAll] = name;
    return rowOfAll;
  }

  /** The row of a name; null where it has none. */
  Integer find(MetricsSheet table, String name) {
    return rowsByName.get(table.sheetIndex).get(name);
  }

  /** How many names a table has, that of its last row among them. */
  int used(MetricsSheet table) {
    return rowsByName.get(table.sheetIndex).size();
  }
}
