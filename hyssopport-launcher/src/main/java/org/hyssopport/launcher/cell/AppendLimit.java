package org.hyssopport.launcher.cell;

import java.util.ArrayList;
import java.util.List;
import org.hyssopport.platform.StoreWrite;

/** Keeps each append well below the largest one that the store takes, which is 2 MB. */
final class AppendLimit {

  private static final int MAXIMUM_BYTES = 1 << 20;

  private AppendLimit() {}

  /** Returns the size of a record in bytes, without the store's own fields. */
  static int sizeOf(StoreWrite write) {
    return write.key().length() + write.value().map(value -> value.length).orElse(0);
  }

  /** Returns whether a record still fits into an append of the given size in bytes. */
  static boolean fits(int bytes, int recordBytes) {
    return bytes == 0 || bytes + recordBytes <= MAXIMUM_BYTES;
  }

  /** Returns the records in their order, split into as few appends as the limit allows. */
  static List<List<StoreWrite>> split(List<StoreWrite> writes) {
    List<List<StoreWrite>> appends = new ArrayList<>();
    List<StoreWrite> current = new ArrayList<>();
    int bytes = 0;
    for (StoreWrite write : writes) {
      if (!fits(bytes, sizeOf(write))) {
        appends.add(current);
        current = new ArrayList<>();
        bytes = 0;
      }
      current.add(write);
      bytes += sizeOf(write);
    }
    if (!current.isEmpty()) {
      appends.add(current);
    }
    return appends;
  }
}
