/** What organisations have running on all workers together, and how much more each may start. */
package org.hyssopport.engine.quota;
