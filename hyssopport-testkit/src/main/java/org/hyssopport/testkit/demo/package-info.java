/** The demonstration: the firms' policies, the layout of their cells, and a day of their work. */
package org.hyssopport.testkit.demo;
