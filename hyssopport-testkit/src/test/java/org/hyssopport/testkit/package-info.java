/** Tests of the test kit. */
package org.hyssopport.testkit;
