/**
 * The jobs of {@code hyssopport cell}, their steps and tasks, and the progress of each.
 *
 * <p>The jobs of {@code hyssopport serve} are in {@code org.hyssopport.engine.work}.
 */
package org.hyssopport.engine.job;
