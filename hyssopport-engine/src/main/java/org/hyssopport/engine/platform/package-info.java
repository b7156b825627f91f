/**
 * The typed messages exchanged with the platform: its workers, its live list and its log.
 *
 * <p>These types contain every assumption about the platform; {@code docs/PLATFORM.md} lists the
 * assumptions.
 */
package org.hyssopport.engine.platform;
