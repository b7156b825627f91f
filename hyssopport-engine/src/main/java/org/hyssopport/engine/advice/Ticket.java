package org.hyssopport.engine.advice;

import java.time.Instant;

/**
 * Lets one incarnation of a worker start the tasks of one step for a while.
 *
 * @param text what the start order carries
 * @param incarnation the worker's incarnation when it was asked for
 * @param expiresAt when it stops being accepted, by the local steady clock
 * @since 0.2
 */
public record Ticket(String text, long incarnation, Instant expiresAt) {}
