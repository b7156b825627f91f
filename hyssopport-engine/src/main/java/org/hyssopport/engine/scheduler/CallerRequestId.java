package org.hyssopport.engine.scheduler;

/**
 * Names a caller's request at the member that took it.
 *
 * @param member the address of the member
 * @param number the number that the member gave the request
 * @since 0.2
 */
public record CallerRequestId(String member, long number) {}
