/** Models of the gateway's environment, without I/O: a replica set and the clock that drives it. */
package shelffront.lab.model;
