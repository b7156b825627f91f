package org.hyssopport.engine.scheduler;

/**
 * Identifies a caller's request by the member of the cell that received it.
 *
 * @param member the address of the member
 * @param number the number that the member assigned to the request; no other process under the
 *     member's address uses it
 * @since 0.2
 */
public record CallerRequestId(String member, long number) {}
