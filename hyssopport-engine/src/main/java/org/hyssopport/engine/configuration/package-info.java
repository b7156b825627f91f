/**
 * The configuration of the members of a cell ({@code hyssopport cell}) and its routes to the
 * queues.
 *
 * <p>The configuration of an entry instance ({@code hyssopport serve}) is {@code
 * org.hyssopport.policy.Configuration}.
 */
package org.hyssopport.engine.configuration;
