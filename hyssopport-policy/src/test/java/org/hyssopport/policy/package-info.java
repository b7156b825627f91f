/** Tests of the policy module. */
package org.hyssopport.policy;
