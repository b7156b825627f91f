/**
 * Decides which jobs to refuse because they can't be of use to their callers any more.
 *
 * @since 0.3
 */
package org.hyssopport.engine.admission;
