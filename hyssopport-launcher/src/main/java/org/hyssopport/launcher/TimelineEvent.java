package org.hyssopport.launcher;

import java.time.Instant;

/**
 * One event on the time line.
 *
 * @param at when it happened, by the clock of its process
 * @param process the process
 * @param failureDomain where the process stands
 * @param sequence grows with every event of the process
 * @param kind what happened
 * @param subject to what
 * @param detail more about it
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
