/**
 * The typed messages that an entry instance ({@code hyssopport serve}) exchanges with the platform:
 * its workers, its live list and its log.
 *
 * <p>These types contain every assumption of an entry instance about the platform; {@code
 * docs/PLATFORM.md} lists the assumptions. A member of a cell ({@code hyssopport cell}) uses only
 * {@link org.hyssopport.engine.platform.WorkerId} and {@link
 * org.hyssopport.engine.platform.FailureDomain}.
 */
package org.hyssopport.engine.platform;
