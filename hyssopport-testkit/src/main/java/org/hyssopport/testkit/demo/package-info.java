/** The demonstration: the firms' policies, the layouts of their cells and their workloads. */
package org.hyssopport.testkit.demo;
