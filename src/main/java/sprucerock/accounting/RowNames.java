package sprucerock.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names of the rows of all sheets. A row has a number within its sheet, and a global number
 * across all sheets, in the order of the sheets.
 */
final class RowNames {
  private final String[] names;
  private final int[] firstRowOfSheet;
  private final List<Map<String, Integer>> rowsByName = new ArrayList<>();

  RowNames(List<MetricsSheet> sheets) {
    firstRowOfSheet = new int[sheets.size()];
    int rows = 0;
    for (int i = 0; i < sheets.size(); i++) {
      firstRowOfSheet[i] = rows;
      rows += sheets.get(i).rowCount();
      rowsByName.add(new HashMap<>());
    }
    names = new String[rows];
  }

  /** Returns how many rows all sheets have. */
  int rowCount() {
    return names.length;
  }

  /** Returns a row's name by its global number; null if the row is not in use. */
  String name(int globalRow) {
    return names[globalRow];
  }

  /** Returns a row's name; null if the row is not in use. */
  String name(MetricsSheet sheet, int row) {
    return names[firstRowOfSheet[sheet.sheetIndex] + row];
  }

  /** Names a row and returns its global number. */
  int nameRow(MetricsSheet sheet, int row, String name) {
    rowsByName.get(sheet.sheetIndex).put(name, row);
    int globalRow = firstRowOfSheet[sheet.sheetIndex] + row;
    names[globalRow] = name;
    return globalRow;
  }

  /** Returns the row with a name; null if there is none. */
  Integer findRow(MetricsSheet sheet, String name) {
    return rowsByName.get(sheet.sheetIndex).get(name);
  }

  /** Returns how many rows of a sheet have a name, including the last row. */
  int usedRowCount(MetricsSheet sheet) {
    return rowsByName.get(sheet.sheetIndex).size();
  }
}
