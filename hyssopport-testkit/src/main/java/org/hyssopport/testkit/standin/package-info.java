/**
 * Stand-ins for the platform: its log, its live list and its workers.
 *
 * <p>Each has a core that is a plain state machine with an injected clock, used by tests directly,
 * and a server that makes a process of it.
 */
package org.hyssopport.testkit.standin;
