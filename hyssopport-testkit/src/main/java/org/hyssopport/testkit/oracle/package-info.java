/**
 * Checks a history of the outcomes reported to callers and the runs on workers against the system's
 * guarantees.
 *
 * <p>The checks do not depend on how work is scheduled and use no other code of the project.
 */
package org.hyssopport.testkit.oracle;
