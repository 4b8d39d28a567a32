/**
 * Models of what the gateway works against, without I/O: a replica set and the clock it runs on.
 */
package shelffront.lab.model;
