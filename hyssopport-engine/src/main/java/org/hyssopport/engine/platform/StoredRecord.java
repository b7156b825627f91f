package org.hyssopport.engine.platform;

import java.time.Instant;

/**
 * A record as read from the log.
 *
 * @param offset the position of the record in its stream
 * @param id the id that its writer chose
 * @param appendedAt when the log stored the record, by the log's clock
 * @param body the encoded record
 * @since 0.1
 */
public record StoredRecord(long offset, String id, Instant appendedAt, String body) {}
