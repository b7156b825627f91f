package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StoreWrite;

/**
 * The records of the store that number the terms and name their schedulers. A record doesn't fence
 * older terms; the journal does.
 */
final class TermRecords {

  /** The topic in which terms are recorded; a term's number is the offset of its record plus 1. */
  static final String TOPIC = "keyed.scheduler";

  private static final String KEY = "scheduler";

  private TermRecords() {}

  /**
   * Records a term.
   *
   * @param address the address of its scheduler
   * @return the number of the term, or why the store did not confirm it
   */
  static Either<StoreFailure, Long> append(MetadataStore store, String address) {
    byte[] value = address.getBytes(StandardCharsets.UTF_8);
    return store
        .append(TOPIC, List.of(new StoreWrite(KEY, Optional.of(value))), Optional.empty())
        .map(offset -> offset + 1);
  }

  /** Returns the address of the scheduler of the newest term, if there has been one. */
  static Either<StoreFailure, Optional<String>> newestAddress(MetadataStore store) {
    return store
        .readNewest(TOPIC)
        .map(
            page ->
                page.records().stream()
                    .filter(record -> record.key().equals(KEY))
                    .flatMap(record -> record.value().stream())
                    .map(value -> new String(value, StandardCharsets.UTF_8))
                    .reduce((earlier, later) -> later));
  }
}
