/**
 * The typed messages that cross to the platform: its workers, its live list and its log.
 *
 * <p>Every assumption about the platform lives behind these types; {@code docs/PLATFORM.md} lists
 * them.
 */
package org.hyssopport.engine.platform;
