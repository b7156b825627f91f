/** Checks of the architecture over all modules. */
package org.hyssopport.testkit;
