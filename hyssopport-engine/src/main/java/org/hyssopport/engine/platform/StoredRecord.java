package org.hyssopport.engine.platform;

import java.time.Instant;

/**
 * One record as read back from the log.
 *
 * @param offset its place in the stream
 * @param id the id that its writer gave it
 * @param appendedAt when the log took it, by the log's clock
 * @param body the encoded record
 * @since 0.1
 */
public record StoredRecord(long offset, String id, Instant appendedAt, String body) {}
