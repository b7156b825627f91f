package org.hyssopport.engine.advice;

import java.time.Instant;

/**
 * Permits one incarnation of a worker to start the tasks of one step for a limited time.
 *
 * @param text the text that start orders carry
 * @param incarnation the incarnation of the worker that the ticket is for
 * @param expiresAt when it expires, by the local monotonic clock
 * @since 0.2
 */
public record Ticket(String text, long incarnation, Instant expiresAt) {}
