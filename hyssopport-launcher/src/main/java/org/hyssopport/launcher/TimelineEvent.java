package org.hyssopport.launcher;

import java.time.Instant;

/**
 * An event on the timeline.
 *
 * @param at when the event happened, by the clock of its process
 * @param process the name of the process that recorded it
 * @param failureDomain the failure domain of the process
 * @param sequence the number of the event within its process, counted up from 1
 * @param kind the name of the {@link org.hyssopport.engine.TimelineKind}
 * @param subject the id or name of what the event is about
 * @param detail further information as text
 * @since 0.1
 */
public record TimelineEvent(
    Instant at,
    String process,
    String failureDomain,
    long sequence,
    String kind,
    String subject,
    String detail) {}
