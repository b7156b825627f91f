/**
 * Judges a history of what callers were told and what workers ran.
 *
 * <p>It knows nothing of how work is scheduled and uses no other code of the project.
 */
package org.hyssopport.testkit.oracle;
